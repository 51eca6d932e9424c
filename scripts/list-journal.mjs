/** Lists the entries of the journal: the time, the run, the figures of each simulated day, and the reason. */
import {readdir, readFile} from 'node:fs/promises';
import process from 'node:process';

const scoreDigits = 3;
const timestampLength = 16;

function describeDay({
	name, G: score, fault, rules, balancers,
}) {
	const violations = [...Object.keys(rules ?? {}), ...(fault ? [`fault ${fault}`] : [])];
	const size = balancers === undefined ? '' : `/${balancers}`;
	return `${name}${size} ${typeof score === 'number' ? score.toFixed(scoreDigits) : 'none'}${violations.length > 0 ? ` (${violations.join(', ')})` : ''}`;
}

function describeEntry({
	id, at, cmd, site, days, why,
}) {
	return [
		at?.[0]?.slice(0, timestampLength) ?? '',
		id ?? '',
		cmd ?? '',
		site ?? '',
		(days ?? []).map(day => describeDay(day)).join('; '),
		why ?? '',
	].map(field => String(field).replaceAll('|', '/')).join(' | ');
}

/** Words that a listed line has to contain, in any case. */
const words = process.argv.slice(2).map(word => word.toLowerCase());
const names = await readdir('journal');
const files = names.filter(name => name.endsWith('.json')).sort();
for (const name of files) {
	const line = describeEntry(JSON.parse(await readFile(`journal/${name}`, 'utf8')));
	if (words.every(word => line.toLowerCase().includes(word))) {
		console.log(line);
	}
}
