/** Version of all programs; a test compares it with `package.json`. */
export const programVersion = '0.1.0'
