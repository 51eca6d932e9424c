import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {loadSettings, settingsVariable} from './load-settings.js';
import {describeSettingsError} from './settings-error.js';
import {type SettingsInput} from './settings.js';

const valid: SettingsInput = {
	instance: {id: 'entry-01', availabilityZone: 'nadi'},
	listeners: {
		caller: {listen: '127.0.0.1:0'},
		peer: {listen: '127.0.0.1:0'},
		admin: {listen: '[::1]:0'},
	},
	log: {url: 'http://127.0.0.1:7100'},
	instanceList: {url: 'http://127.0.0.1:7200'},
	secrets: {peer: ['a-peer-secret-of-length'], operator: ['an-operator-secret']},
};

function sources(json: string) {
	return {environment: {[settingsVariable]: json}, standardInput: Readable.from([])};
}

async function faultPaths(value: unknown): Promise<string[]> {
	const loaded = await loadSettings(sources(JSON.stringify(value)));
	const error = loaded._unsafeUnwrapErr();
	assert.equal(error.type, 'invalid');
	return error.type === 'invalid' ? error.faults.map(fault => fault.path).sort() : [];
}

describe('settings', () => {
	it('should take the environment and fill in defaults', async () => {
		const loaded = await loadSettings(sources(JSON.stringify(valid)));
		const settings = loaded._unsafeUnwrap();
		assert.equal(settings.logging.level, 'info');
		assert.equal(settings.log.streams.configuration, 'configuration');
		assert.deepEqual(settings.listeners.admin.listen, {host: '::1', port: 0});
	});

	it('should take standard input for "-"', async () => {
		const standardInput = Readable.from([JSON.stringify(valid)]);
		const settings = await loadSettings({file: '-', environment: {}, standardInput});
		assert.equal(settings._unsafeUnwrap().instance.id, 'entry-01');
	});

	it('should name every fault at its path', async () => {
		const faulty = {...valid, instance: {id: 'entry 01', availabilityZone: 'nadi'}, limits: {tickets: 0}};
		assert.deepEqual(await faultPaths(faulty), ['instance.id', 'limits.tickets']);
	});

	it('should name unknown fields at their own path', async () => {
		const faulty = {...valid, extra: 1, log: {url: 'http://127.0.0.1:7100', retries: 3}};
		assert.deepEqual(await faultPaths(faulty), ['extra', 'log.retries']);
	});

	it('should refuse host names and ports out of range', async () => {
		const listeners = {...valid.listeners, caller: {listen: '127.0.0.1:70000'}};
		const faulty = {...valid, listeners, log: {url: 'http://log.example:7100'}};
		assert.deepEqual(await faultPaths(faulty), ['listeners.caller.listen', 'log.url']);
	});

	it('should tell missing, unreadable and broken settings apart', async () => {
		const missing = await loadSettings({environment: {}, standardInput: Readable.from([])});
		const unreadable = await loadSettings({...sources('{}'), file: '/nonexistent/settings.json'});
		const broken = await loadSettings(sources('{'));
		const types = [missing, unreadable, broken].map(loaded => loaded._unsafeUnwrapErr().type);
		assert.deepEqual(types, ['missing', 'unreadable', 'not-json']);
	});

	it('should describe faults one on a line', async () => {
		const loaded = await loadSettings(sources('{}'));
		const lines = describeSettingsError(loaded._unsafeUnwrapErr());
		assert.equal(lines.length, 6);
		assert.match(lines[1]!, /^ {2}instance: /);
	});
});
