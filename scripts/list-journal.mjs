/** Lists the entries of the journal: when, what was played, the figures of each day, and why. */
import {readdir, readFile} from 'node:fs/promises';
import process from 'node:process';

const digits = 3;
const dateLength = 16;

function describeDay({
	name, G: worth, fault, rules, balancers,
}) {
	const broken = [...Object.keys(rules ?? {}), ...(fault ? [`fault ${fault}`] : [])];
	const size = balancers === undefined ? '' : `/${balancers}`;
	return `${name}${size} ${typeof worth === 'number' ? worth.toFixed(digits) : 'none'}${broken.length > 0 ? ` (${broken.join(', ')})` : ''}`;
}

function describeEntry({
	id, at, cmd, site, days, why,
}) {
	return [
		at?.[0]?.slice(0, dateLength) ?? '',
		id ?? '',
		cmd ?? '',
		site ?? '',
		(days ?? []).map(day => describeDay(day)).join('; '),
		why ?? '',
	].map(field => String(field).replaceAll('|', '/')).join(' | ');
}

/** Words that a line must hold, whatever their case. */
const words = process.argv.slice(2).map(word => word.toLowerCase());
const names = await readdir('journal');
const files = names.filter(name => name.endsWith('.json')).sort();
for (const name of files) {
	const line = describeEntry(JSON.parse(await readFile(`journal/${name}`, 'utf8')));
	if (words.every(word => line.toLowerCase().includes(word))) {
		console.log(line);
	}
}
