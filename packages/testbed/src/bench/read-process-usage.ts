import {readFile} from 'node:fs/promises';

type Usage = {
	readonly cpuMs: number;
	readonly rssMb: number;
};

const ticksPerSecond = 100;
/** Indexes in /proc/PID/stat, counted from the field after the name of the program. */
const userTimeField = 11;
const systemTimeField = 12;

/**
 * Reads the processor time and the resident memory of a process from /proc.
 *
 * @example
 * const {cpuMs, rssMb} = await readProcessUsage(child.pid);
 */
export const readProcessUsage = async (pid: number): Promise<Usage> => {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const rssKb = Number(/VmRSS:\s+(\d+)/v.exec(status)?.[1] ?? 0);
	return {cpuMs: (ticks * 1000) / ticksPerSecond, rssMb: rssKb / 1024};
};
