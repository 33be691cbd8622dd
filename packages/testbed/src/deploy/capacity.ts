import type {Deployment} from './deployment.js';
import {scaled} from './scaled.js';

/**
 * Requests a second that the slots of a deployment could carry with the given mix, each data centre
 * on its own. A slot is held while the calls downstream run.
 *
 * @example
 * const perSecond = capacity(hungary, hungary.jobs, 0.1);
 */
export const capacity = (
	deployment: Deployment,
	jobs: Deployment['jobs'],
	scale: number,
): number => {
	const total = jobs.reduce((sum, {share}) => sum + share, 0);
	const usedMs = new Map<string, number>();
	const timeOf = (name: string) =>
		deployment.services.find(service => service.name === name)!.serviceMs;
	for (const {service, share, chain} of jobs) {
		const path = [service, ...chain.map(step => step.service)];
		for (const [index, name] of path.entries()) {
			const heldMs = path.slice(index).reduce((sum, below) => sum + timeOf(below), 0);
			usedMs.set(name, (usedMs.get(name) ?? 0) + (heldMs * share) / total);
		}
	}

	const limits = deployment.services.flatMap(({name, slots, endpoints}) => {
		const used = usedMs.get(name);
		return used === undefined ? [] : [(scaled(slots, scale) * endpoints * 1000) / used];
	});
	return Math.min(...limits);
};
