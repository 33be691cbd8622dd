import type {Policy} from './policy.js';

const maxFloorSum = 0.5;

/**
 * Lists effects of a policy that are probably unintended, such as refusing urgent requests. A
 * change with warnings is accepted only if the operator confirms it.
 *
 * @example
 * const warnings = policyWarnings(candidate);
 */
export const policyWarnings = (policy: Policy): string[] => {
	const warnings: string[] = [];
	const names = policy.base.ranks.map(({name}) => name);
	const floorSum = policy.floors.slice(1).reduce((sum, share) => sum + share, 0);
	if (floorSum > maxFloorSum) {
		warnings.push(
			`The floors of the lower ranks keep ${Math.round(floorSum * 100)}% of each upstream from rank ${names[0]}: lower them to ${maxFloorSum * 100}% or less in all`,
		);
	}

	if (new Set(names).size < names.length) {
		warnings.push('Two ranks have the same name, so the later one gets no work: rename it');
	}

	if (!names.includes(policy.base.defaults.rank)) {
		warnings.push(
			`The default rank ${policy.base.defaults.rank} is not listed, so unnamed jobs get the lowest: name one of ${names.join(', ')}`,
		);
	}

	for (const service of policy.serviceSections) {
		for (const {rank, deadlineMs} of service.jobs) {
			if (!names.includes(rank)) {
				warnings.push(
					`Service ${service.service} uses rank ${rank}, which base does not list, so its jobs are shed first: name one of ${names.join(', ')}`,
				);
			}

			if (deadlineMs !== undefined && deadlineMs < minUsefulDeadlineMs && rank === names[0]) {
				warnings.push(
					`Service ${service.service} gives its urgent jobs ${deadlineMs} ms, so nearly all would be refused: set deadlineMs to ${minUsefulDeadlineMs} or more`,
				);
			}
		}
	}

	return warnings;
};

const minUsefulDeadlineMs = 20;
