import {readFile} from 'node:fs/promises';

type Usage = {
	readonly cpuMs: number;
	readonly rssMb: number;
};

const ticksPerSecond = 100;
const userField = 11;
const systemField = 12;

/**
 * Processor time and memory of a process, as Linux accounts them.
 *
 * @example
 * const {cpuMs, rssMb} = await processUsage(child.pid);
 */
export const processUsage = async (pid: number): Promise<Usage> => {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userField]) + Number(fields[systemField]);
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const rssKb = Number(/VmRSS:\s+(\d+)/v.exec(status)?.[1] ?? 0);
	return {cpuMs: (ticks * 1000) / ticksPerSecond, rssMb: rssKb / 1024};
};
