/** Entry point of `npm run fault-matrix`: runs the scenarios and prints the matrix, then a JSON summary as the last line. */
import process from 'node:process';
import {cac} from 'cac';
import {recordedCells} from './cells/recorded-cells.js';
import {formatImpossibleTable} from './report/impossible-table.js';
import {formatMatrixTable} from './report/matrix-table.js';
import {formatPairsTable} from './report/pairs-table.js';
import {summarize} from './report/summary.js';
import {runScenarios} from './run-scenarios.js';

const cli = cac('fault-matrix');
cli.option('--tags <expression>', 'Only scenarios with these tags')
	.option('--name <pattern>', 'Only scenarios whose name matches')
	.option('--feature <part>', 'Only feature files whose name contains this text')
	.help();
const {options} = cli.parse();

if (!options.help) {
	const counts = await runScenarios(options);
	const results = recordedCells();
	console.log(formatMatrixTable(results));
	console.log(formatPairsTable(results));
	console.log(formatImpossibleTable());
	console.log(JSON.stringify(summarize(counts, results)));
	process.exitCode = counts.failed > 0 || counts.passed === 0 ? 1 : 0;
}
