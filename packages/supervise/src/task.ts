/**
 * A supervised task: an async function that runs until its signal aborts. It calls `ready` once it
 * is operational; siblings listed after it start only then.
 *
 * @example
 * const task: Task = async (signal, ready) => {
 * 	ready();
 * 	await clock.sleep(1000, signal);
 * };
 */
export type Task = (signal: AbortSignal, ready: () => void) => Promise<void>;
