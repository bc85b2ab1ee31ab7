import tseslint from 'typescript-eslint'

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', '.tap/**', 'packages/wire/src/gen/**', 'node_modules/**'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // Numbers and booleans in log lines and messages are intended.
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
    },
  },
  { files: ['**/*.mjs'], ...tseslint.configs.disableTypeChecked },
)
