import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import type {Deployment} from './deployment.js';
import type {Host} from './host.js';
import {runClient} from './run-client.js';

const pollMs = 50;

/**
 * Puts the policy of a deployment with the operators' client; resolves once it is in force at every
 * node.
 *
 * @example
 * await putPolicy(hungary.policy, fleet.hosts);
 */
export const putPolicy = async (
	policy: Deployment['policy'],
	hosts: readonly Host[],
): Promise<void> => {
	const folder = await mkdtemp('/tmp/medlarsaddle-policy-');
	for (const [name, text] of Object.entries(policy)) {
		const file = `${folder}/${name}.yaml`;
		await writeFile(file, text);
		const {code, text: output} = await runClient(hosts[0]!, ['policy', 'put', file]);
		if (code !== 0) {
			throw new Error(`Policy section ${name} was not accepted: ${output}`);
		}
	}

	await rm(folder, {recursive: true});
	const expected = Object.keys(policy).length;
	for (const {node} of hosts) {
		while (node.lines.filter(({event}) => event === 'MS4001').length < expected) {
			await delay(pollMs);
		}
	}
};
