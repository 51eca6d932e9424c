/** Caches the hash of each configuration state, so that it is computed only once. */
import {hashConfiguration, type ConfigurationState} from '@cairnbank/core/configuration';

export class ConfigurationHashCache {
	readonly #hashes = new WeakMap<ConfigurationState, string>();

	hash(state: ConfigurationState): string {
		const known = this.#hashes.get(state);
		if (known !== undefined) {
			return known;
		}

		const hash = hashConfiguration(state);
		this.#hashes.set(state, hash);
		return hash;
	}
}
