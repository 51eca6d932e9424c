import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import type {UpstreamAdvisory} from '@cairnbank/core/advisories';
import type {StoreFault} from '@cairnbank/platform/spec-support/store-stand-in';
import type {UpstreamBehaviour} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {checks} from './all-checks.js';
import type {SoakEvent} from './schedule.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const cellsOfRow = 7;
const noCheckYet = 'nothing yet';

/** None of these records compiles if a variant is missing. */
const advisories: Readonly<Record<UpstreamAdvisory['type'], true>> = {leaving: true, 'back-off': true};
const behaviours: Readonly<Record<UpstreamBehaviour, true>> = {
	answers: true,
	holds: true,
	sheds: true,
	hangs: true,
	'loses-answer': true,
	crashes: true,
	fails: true,
	'is-another': true,
	'cuts-answer': true,
	'cuts-unframed-answer': true,
	'ends-unframed-answer': true,
	'answers-twice': true,
	'answers-another': true,
	unsigned: true,
};
const storeFaults: Readonly<Record<StoreFault['type'], true>> = {
	none: true, silent: true, busy: true, reset: true, slow: true, 'lost-answers': true, 'late-writes': true,
};
const events: Readonly<Record<SoakEvent['type'], true>> = {
	cut: true,
	stop: true,
	'stop-in-use': true,
	'planned-stop': true,
	kill: true,
	pause: true,
	reload: true,
	crowd: true,
	configure: true,
	drain: true,
	leave: true,
	'back-off': true,
	misbehave: true,
	limit: true,
	link: true,
	store: true,
	spoil: true,
	restore: true, crash: true, outage: true, herd: true, 'remove-key': true, 'flood-account': true, 'lower-limit': true,
};

type Row = {readonly statement: string; readonly files: readonly string[]; readonly check: string; readonly players: string};

function readRows(): readonly Row[] {
	const lines = readFileSync(path.join(root, 'docs', 'CONTRACTS.md'), 'utf8').split('\n');
	const rows = lines.filter(line => line.startsWith('| ')).map(line => line.split('|').slice(1, -1).map(cell => cell.trim()));
	return rows.filter(([statement]) => statement !== 'statement or event').map(cells => {
		assert.equal(cells.length, cellsOfRow, cells.join(' | '));
		const statement = cells[0]!;
		const [decidedBy, spec, check, players] = cells.slice(3);
		return {
			statement, files: [...codeIn(decidedBy!), ...codeIn(spec!)], check: check!, players: players!,
		};
	});
}

function codeIn(text: string): readonly string[] {
	return [...text.matchAll(/`([^`]+)`/g)].map(([, code]) => code!);
}

/** Returns the names that follow a word in the given cells, such as "events `a`, `b`". */
function namesAfter(word: string, cells: readonly string[]): ReadonlySet<string> {
	const lists = cells.flatMap(cell => [...cell.matchAll(new RegExp(`${word}s? ((?:\`[^\`]+\`(?:, )?)+)`, 'g'))].map(([, names]) => names!));
	return new Set(lists.flatMap(list => codeIn(list)));
}

const sorted = (names: Iterable<string>) => [...names].toSorted((left, right) => left.localeCompare(right));

describe('page of contracts (docs/CONTRACTS.md)', () => {
	const rows = readRows();
	const players = rows.map(row => row.players);

	it('should have a row for each upstream advisory', () => {
		const named = namesAfter('advisory', rows.map(({statement}) => statement));
		assert.deepEqual(sorted(named), sorted(Object.keys(advisories)));
	});

	it('should have a row for each behaviour of the stand-ins and each event, and name no other', () => {
		assert.deepEqual(sorted(namesAfter('behaviour', players)), sorted(Object.keys(behaviours)));
		assert.deepEqual(sorted(namesAfter('store', players)), sorted(Object.keys(storeFaults)));
		assert.deepEqual(sorted(namesAfter('event', players)), sorted(Object.keys(events)));
	});

	it('should have a row for each check of the soak, and name no other', () => {
		const named = new Set(rows.map(({check}) => check).filter(check => check !== noCheckYet));
		assert.deepEqual(sorted(named), sorted(checks.map(({name}) => name)));
	});

	it('should name files that exist', () => {
		const missing = rows.flatMap(({files}) => files).filter(file => !existsSync(path.join(root, file)));
		assert.deepEqual(missing, []);
	});
});
