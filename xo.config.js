/** XO formats and lints; each rule turned off here says why. */
const config = [
	{
		ignores: ['**/dist/**', 'packages/testing/features/**'],
	},
	{
		rules: {
			// The customary short names (`id`, `ms`, `args`, `db`) read better than their long forms.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// Steps that must follow one another are awaited in their loop.
			'no-await-in-loop': 'off',
			// Takes neverthrow's `map` for the one of arrays.
			'array-callback-return': 'off',
		},
	},
	{
		// Typed rules: a plain script has no project to look its types up in.
		files: ['**/*.ts'],
		rules: {
			// Header names and JSON keys are not ours to spell.
			'@typescript-eslint/naming-convention': 'off',
			// A task's name is a plain field.
			'@typescript-eslint/class-literal-property-style': 'off',
			// Node:test's describe/it return promises that the runner awaits.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: ['describe', 'it', 'test'], package: 'node:test'}]}],
		},
	},
];

export default config;
