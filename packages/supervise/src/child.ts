import type {restartPolicies} from './restart-policies.js';
import type {Task} from './task.js';

/**
 * Specification of one child of a supervisor.
 *
 * @example
 * const child: Child = {name: 'probe', task: probe, restart: restartPolicies.always};
 */
export type Child = {
	readonly name: string;
	readonly task: Task;
	readonly restart: (typeof restartPolicies)[keyof typeof restartPolicies];
};
