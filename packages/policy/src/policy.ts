import {Fault, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {z} from 'zod';
import type {baseSection} from './base-section.js';
import {compileGlob} from './compile-glob.js';
import type {JobRule} from './job-rule.js';
import {matchKinds} from './match-kinds.js';
import {parseSection} from './parse-section.js';
import {RouteTable} from './route-table.js';
import type {Section} from './section.js';
import type {SectionBody} from './section-body.js';
import type {serviceSection} from './service-section.js';
import type {Terms} from './terms.js';

type Base = z.infer<typeof baseSection>;
type Service = z.infer<typeof serviceSection>;

/** Base section in force until the first one arrives: a single rank and no retries. */
const defaultBase: Base = {
	kind: 'base',
	ranks: [{name: 'default', floorShare: 0, rankHint: false}],
	defaults: {rank: 'default', idempotent: false, deadlineMs: 2000, retries: 0},
};

const matchPrecedence = [matchKinds.exact, matchKinds.prefix, matchKinds.pattern];

/**
 * An immutable set of policy sections. Job names are opaque strings, which are never split,
 * case-folded or trimmed.
 *
 * @example
 * const policy = Policy.empty().with(section).unwrapOr(Policy.empty());
 * policy.termsFor('payment', 'DTI-OLD/PAY.fee').rankName;
 */
export class Policy {
	/** Creates a policy without sections, which consists of defaults. */
	static empty(): Policy {
		return new Policy(new Map(), defaultBase, new Map(), undefined);
	}

	private readonly rulesByService = new Map<string, readonly JobRule[]>();
	private readonly servicesByName: ReadonlyMap<string, Service>;

	private constructor(
		readonly sections: ReadonlyMap<string, Section>,
		readonly base: Base,
		private readonly servicesBySection: ReadonlyMap<string, Service>,
		/** Routes by host and path; undefined until there is a routes section. */
		readonly routes: RouteTable | undefined,
	) {
		this.servicesByName = new Map(
			[...servicesBySection.values()].map(body => [body.service, body]),
		);
	}

	/** Floor share of each rank, in rank order. */
	get floors(): readonly number[] {
		return this.base.ranks.map(({floorShare}) => floorShare);
	}

	/** Content of every service section. */
	get serviceSections(): readonly Service[] {
		return [...this.servicesBySection.values()];
	}

	/** Version of a section; 0 if the policy does not contain it. */
	versionOf(name: string): number {
		return this.sections.get(name)?.version ?? 0;
	}

	/**
	 * Returns a policy with the section added or replaced, or this policy itself if it already
	 * contains that version or a later one.
	 */
	with(section: Section): Result<Policy, Fault> {
		if (section.version <= this.versionOf(section.name)) {
			return ok(this);
		}

		return parseSection(section.text).andThen(body => this.withBody(section, body));
	}

	/** Index of a rank; an unknown name gets the least urgent rank. */
	rankIndex(name: string): number {
		const index = this.base.ranks.findIndex(rank => rank.name === name);
		return index === -1 ? this.base.ranks.length - 1 : index;
	}

	/**
	 * Terms of a job. An exact rule takes precedence over a prefix, and a prefix over a pattern.
	 * Among rules of one kind, the one with more literal characters wins, then the one listed first.
	 */
	termsFor(service: string, job: string): Terms {
		return (
			this.rulesOf(service).find(rule => rule.matches(job))?.terms ?? this.defaultTerms(service)
		);
	}

	/** The section that contains the job rules of a service. */
	sectionOf(service: string): Section | undefined {
		const found = [...this.servicesBySection].find(([_name, body]) => body.service === service);
		return found ? this.sections.get(found[0]) : undefined;
	}

	/** Latency objective of a service and rank in milliseconds; undefined if there is none. */
	latencyObjectiveMs(service: string, rank: string): number | undefined {
		return this.objectivesOf(service).find(objective => objective.rank === rank)?.withinMs;
	}

	/** Whether there is a section for the service. */
	hasService(service: string): boolean {
		return this.servicesByName.has(service);
	}

	/** Objectives that the job rules of a service set, each with the rank of its rule. */
	objectivesOf(
		service: string,
	): ReadonlyArray<{rank: string; goodShare: number; withinMs: number}> {
		const jobs = this.servicesByName.get(service)?.jobs ?? [];
		return jobs.flatMap(({rank, objective}) => (objective ? [{rank, ...objective}] : []));
	}

	private withBody(section: Section, body: SectionBody): Result<Policy, Fault> {
		const sections = new Map(this.sections).set(section.name, section);
		if (body.kind === 'base') {
			return ok(new Policy(sections, body, this.servicesBySection, this.routes));
		}

		if (body.kind === 'routes') {
			return ok(new Policy(sections, this.base, this.servicesBySection, RouteTable.of(body)));
		}

		const existing = [...this.servicesBySection].find(
			([name, service]) => name !== section.name && service.service === body.service,
		);
		if (existing) {
			return err(
				Fault.of(
					faultKinds.badPolicy,
					`Section ${existing[0]} already holds service ${body.service}`,
					`Put the change to section ${existing[0]}`,
				),
			);
		}

		const services = new Map(this.servicesBySection).set(section.name, body);
		return ok(new Policy(sections, this.base, services, this.routes));
	}

	private rulesOf(service: string): readonly JobRule[] {
		const cached = this.rulesByService.get(service);
		if (cached) {
			return cached;
		}

		const section = this.servicesByName.get(service);
		const compiled = (section?.jobs ?? [])
			.map(job => this.compile(section!, job))
			.toSorted(
				(a, b) =>
					matchPrecedence.indexOf(a.matchKind) - matchPrecedence.indexOf(b.matchKind) ||
					b.literalLength - a.literalLength,
			);
		if (section) {
			this.rulesByService.set(service, compiled);
		}

		return compiled;
	}

	private compile(section: Service, job: Service['jobs'][number]): JobRule {
		const {defaults} = this.base;
		const rank = this.rankIndex(job.rank);
		const terms: Terms = {
			rank,
			rankName: this.base.ranks[rank]!.name,
			idempotent: job.idempotent ?? defaults.idempotent,
			deadlineMs: job.deadlineMs ?? defaults.deadlineMs,
			retries: job.retries ?? defaults.retries,
			spill: section.spill,
		};
		const {match} = job;
		if ('exact' in match) {
			const text = match.exact;
			return {
				matchKind: matchKinds.exact,
				literalLength: text.length,
				terms,
				matches: name => name === text,
			};
		}

		if ('prefix' in match) {
			const text = match.prefix;
			return {
				matchKind: matchKinds.prefix,
				literalLength: text.length,
				terms,
				matches: name => name.startsWith(text),
			};
		}

		const literalLength = match.pattern.replaceAll('*', '').length;
		return {
			matchKind: matchKinds.pattern,
			literalLength,
			terms,
			matches: compileGlob(match.pattern),
		};
	}

	private defaultTerms(service: string): Terms {
		const {defaults, ranks} = this.base;
		const rank = this.rankIndex(defaults.rank);
		const section = this.servicesByName.get(service);
		return {
			rank,
			rankName: ranks[rank]!.name,
			idempotent: defaults.idempotent,
			deadlineMs: defaults.deadlineMs,
			retries: defaults.retries,
			spill: section?.spill ?? false,
		};
	}
}
