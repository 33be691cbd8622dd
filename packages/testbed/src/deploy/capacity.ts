import type {Deployment} from './deployment.js';
import {scaleCount} from './scale-count.js';

/**
 * Requests per second that the slots of a deployment can serve with the given mix of jobs, if each
 * data centre serves its own calls. A slot is held while the calls downstream run.
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
	const slotMsByService = new Map<string, number>();
	const serviceMsOf = (name: string) =>
		deployment.services.find(service => service.name === name)!.serviceMs;
	for (const {service, share, chain} of jobs) {
		const services = [service, ...chain.map(step => step.service)];
		for (const [index, name] of services.entries()) {
			const heldMs = services
				.slice(index)
				.reduce((sum, serviceName) => sum + serviceMsOf(serviceName), 0);
			slotMsByService.set(name, (slotMsByService.get(name) ?? 0) + (heldMs * share) / total);
		}
	}

	const rates = deployment.services.flatMap(({name, slots, endpoints}) => {
		const slotMs = slotMsByService.get(name);
		return slotMs === undefined ? [] : [(scaleCount(slots, scale) * endpoints * 1000) / slotMs];
	});
	return Math.min(...rates);
};
