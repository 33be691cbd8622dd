export type {Child} from './child.js';
export type {Task} from './task.js';
export {restartPolicies} from './restart-policies.js';
export {Supervisor} from './supervisor.js';
