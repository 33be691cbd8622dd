import type {z} from 'zod';
import type {routeSchema} from './route-schema.js';

/**
 * One route: the requests that it matches, their target services, and their rank and limits.
 *
 * @example
 * const {targets, timeoutMs} = route;
 */
export type Route = z.infer<typeof routeSchema>;
