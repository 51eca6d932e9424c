/** `npm run fault-matrix`: runs the scenarios and prints the matrix; the last line is JSON. */
import process from 'node:process';
import {cac} from 'cac';
import {recordedCells} from './cells/cell-log.js';
import {impossibleTable} from './report/impossible-table.js';
import {matrixTable} from './report/matrix-table.js';
import {pairsTable} from './report/pairs-table.js';
import {summarise} from './report/summary.js';
import {runScenarios} from './run-scenarios.js';

const cli = cac('fault-matrix');
cli.option('--tags <expression>', 'Only scenarios with these tags')
	.option('--name <pattern>', 'Only scenarios whose name matches')
	.option('--feature <part>', 'Only feature files whose name has this part')
	.help();
const {options} = cli.parse();

if (!options.help) {
	const counts = await runScenarios(options);
	const results = recordedCells();
	console.log(matrixTable(results));
	console.log(pairsTable(results));
	console.log(impossibleTable());
	console.log(JSON.stringify(summarise(counts, results)));
	process.exitCode = counts.failed > 0 || counts.passed === 0 ? 1 : 0;
}
