import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {readSettings, settingsVariable} from './read-settings.js';
import {describeSettingsError} from './settings-error.js';
import {type SettingsInput} from './settings.js';

const valid: SettingsInput = {
	instanceId: 'entry-01',
	availabilityZone: 'nadi',
	callers: {port: 0},
	peers: {port: 0},
	admin: {host: '::1', port: 0},
	log: {url: 'http://127.0.0.1:7100'},
	instanceList: {url: 'http://127.0.0.1:7200'},
	peerSecrets: ['a-peer-secret-of-length'],
	operatorSecrets: ['an-operator-secret'],
};

function fromEnvironment(json: string) {
	return {environment: {[settingsVariable]: json}};
}

async function faultPaths(value: unknown): Promise<string[]> {
	const read = await readSettings(fromEnvironment(JSON.stringify(value)));
	const error = read._unsafeUnwrapErr();
	assert.equal(error.type, 'invalid');
	return error.type === 'invalid' ? error.faults.map(fault => fault.path).sort() : [];
}

describe('settings', () => {
	it('should read the environment variable and fill in defaults', async () => {
		const read = await readSettings(fromEnvironment(JSON.stringify(valid)));
		const settings = read._unsafeUnwrap();
		assert.equal(settings.logging.level, 'info');
		assert.equal(settings.log.claimsStream, 'claims');
		assert.deepEqual(settings.callers, {host: '127.0.0.1', port: 0});
	});

	it('should read standard input for "-"', async () => {
		const standardInput = Readable.from([JSON.stringify(valid)]);
		const read = await readSettings({file: '-', environment: {}, standardInput});
		assert.equal(read._unsafeUnwrap().instanceId, 'entry-01');
	});

	it('should report each fault with its path', async () => {
		const faulty = {
			...valid, instanceId: 'entry 01', calls: {maximumInFlight: 0}, peerSecrets: ['short'],
		};
		assert.deepEqual(await faultPaths(faulty), ['calls.maximumInFlight', 'instanceId', 'peerSecrets.0']);
	});

	it('should report unknown fields with their own paths', async () => {
		const faulty = {...valid, extra: 1, log: {url: 'http://127.0.0.1:7100', retries: 3}};
		assert.deepEqual(await faultPaths(faulty), ['extra', 'log.retries']);
	});

	it('should reject host names and ports out of range', async () => {
		const faulty = {...valid, callers: {host: 'entry.example', port: 70_000}, log: {url: 'http://log.example:7100'}};
		assert.deepEqual(await faultPaths(faulty), ['callers.host', 'callers.port', 'log.url']);
	});

	it('should accept at most two secrets', async () => {
		const secret = 'one-of-three-secrets';
		assert.deepEqual(await faultPaths({...valid, operatorSecrets: [secret, secret, secret]}), ['operatorSecrets']);
	});

	it('should distinguish missing, unreadable and invalid settings', async () => {
		const missing = await readSettings({environment: {}});
		const unreadable = await readSettings({environment: {}, file: '/nonexistent/settings.json'});
		const broken = await readSettings(fromEnvironment('{'));
		const types = [missing, unreadable, broken].map(read => read._unsafeUnwrapErr().type);
		assert.deepEqual(types, ['missing', 'unreadable', 'not-json']);
	});

	it('should describe each fault on a line of its own', async () => {
		const read = await readSettings(fromEnvironment('{}'));
		const lines = describeSettingsError(read._unsafeUnwrapErr());
		assert.equal(lines.length, 10);
		assert.match(lines[1]!, /^ {2}instanceId: /);
	});
});
