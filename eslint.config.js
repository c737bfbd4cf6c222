import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      '**/lib/**',
      'target/**',
      '**/node_modules/**',
      'out/**',
      '.cache/**',
    ],
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    extends: [...tseslint.configs.recommended],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'curly': ['error', 'multi-line'],
      'eqeqeq': ['error', 'always', {null: 'ignore'}],
      'max-lines': ['error', {max: 320}],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportDeclaration > ImportSpecifier',
          message: 'Use a namespace import: import * as name from "module".',
        },
        {
          selector: 'TSEnumDeclaration',
          message:
            'Use a constant object declared "as const" in place of an enum.',
        },
        {
          selector:
            "CallExpression[callee.object.name='Date'][callee.property.name='now'], " +
            "CallExpression[callee.object.name='Math'][callee.property.name='random'], " +
            "CallExpression[callee.object.name='performance'][callee.property.name='now']",
          message: 'Take the time or the random source as an argument.',
        },
      ],
      'prefer-const': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'allow',
        },
      ],
    },
  },
  {
    files: ['packages/*/src/test/**/*.ts', 'platform/src/test/**/*.ts'],
    rules: {'max-lines': ['error', {max: 350}]},
  },
);
