/** Version of all programs; a test checks that it equals the version in `package.json`. */
export const programVersion = '0.1.0'
