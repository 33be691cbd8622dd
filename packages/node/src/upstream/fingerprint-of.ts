import {createHash} from 'node:crypto';
import type {CallRequest} from '@medlarsaddle/wire';

/**
 * Returns a hash that identifies a request by its content, independent of its caller.
 *
 * @example
 * quarantine.isHeld(fingerprintOf(request));
 */
export const fingerprintOf = ({service, job, method, path, body}: CallRequest): string =>
	createHash('sha256')
		.update(JSON.stringify([service, job, method, path]))
		.update(body)
		.digest('base64url')
		.slice(0, 22);
