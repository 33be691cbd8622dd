import {request} from 'undici';

/**
 * Reads one counter from a node's metrics, summed over its labels.
 *
 * @example
 * const bytes = await scrapeCounter('http://127.0.0.1:8080', 'medlarsaddle_control_bytes_total');
 */
export const scrapeCounter = async (url: string, name: string): Promise<number> => {
	const reply = await request(`${url}/metrics`);
	const lines = (await reply.body.text()).split('\n');
	return lines
		.filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
		.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
};
