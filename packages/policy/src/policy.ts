import {Fault, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import type {z} from 'zod';
import type {baseSection} from './base-section.js';
import {globTest} from './glob-test.js';
import type {JobRule} from './job-rule.js';
import {matches} from './matches.js';
import {parseSection} from './parse-section.js';
import {RouteTable} from './route-table.js';
import type {Section} from './section.js';
import type {SectionBody} from './section-body.js';
import type {serviceSection} from './service-section.js';
import type {Terms} from './terms.js';

type Base = z.infer<typeof baseSection>;
type Service = z.infer<typeof serviceSection>;

/** What holds until the first base section is taken: one rank, nothing is retried. */
const fallbackBase: Base = {
	kind: 'base',
	ranks: [{name: 'default', floorShare: 0, rankHint: false}],
	defaults: {rank: 'default', idempotent: false, deadlineMs: 2000, retries: 0},
};

const order = [matches.exact, matches.prefix, matches.pattern];

/**
 * The policy in force: an immutable set of sections. Job names are opaque; nothing in them is
 * split, folded or trimmed.
 *
 * @example
 * const policy = Policy.empty().with(section).unwrapOr(Policy.empty());
 * policy.termsFor('payment', 'DTI-OLD/PAY.fee').rankName;
 */
export class Policy {
	/** Creates a policy without sections. */
	static empty(): Policy {
		return new Policy(new Map(), fallbackBase, new Map(), undefined);
	}

	private readonly rules = new Map<string, readonly JobRule[]>();
	private readonly byService: ReadonlyMap<string, Service>;

	private constructor(
		readonly sections: ReadonlyMap<string, Section>,
		readonly base: Base,
		private readonly services: ReadonlyMap<string, Service>,
		/** Routes by host and path; undefined until a section holds some. */
		readonly routes: RouteTable | undefined,
	) {
		this.byService = new Map([...services.values()].map(body => [body.service, body]));
	}

	/** Floor share of each rank, in the order of ranks. */
	get floors(): readonly number[] {
		return this.base.ranks.map(({floorShare}) => floorShare);
	}

	/** Content of every service section. */
	get serviceBodies(): readonly Service[] {
		return [...this.services.values()];
	}

	/** Version held of a section; 0 when there is none. */
	versionOf(name: string): number {
		return this.sections.get(name)?.version ?? 0;
	}

	/** Adds or replaces a section. Returns this policy itself when it holds that version or a later. */
	with(section: Section): Result<Policy, Fault> {
		if (section.version <= this.versionOf(section.name)) {
			return ok(this);
		}

		return parseSection(section.text).andThen(body => this.withBody(section, body));
	}

	/** Position of a rank; the least urgent one when the name is not known. */
	rankIndex(name: string): number {
		const index = this.base.ranks.findIndex(rank => rank.name === name);
		return index === -1 ? this.base.ranks.length - 1 : index;
	}

	/**
	 * Terms of a job. An exact rule goes before a prefix, a prefix before a pattern; among the same
	 * kind the one with more literal characters wins, then the one listed first.
	 */
	termsFor(service: string, job: string): Terms {
		return this.rulesOf(service).find(rule => rule.names(job))?.terms ?? this.defaultTerms(service);
	}

	/** The section that holds the jobs of a service. */
	sectionOf(service: string): Section | undefined {
		const found = [...this.services].find(([_name, body]) => body.service === service);
		return found ? this.sections.get(found[0]) : undefined;
	}

	/** Latency bound that the objective of a service and rank sets, in milliseconds. */
	withinMs(service: string, rank: string): number | undefined {
		return this.objectivesOf(service).find(objective => objective.rank === rank)?.withinMs;
	}

	/** Whether any section names the service. */
	names(service: string): boolean {
		return this.byService.has(service);
	}

	/** Objective of a job, when its rule sets one. */
	objectivesOf(
		service: string,
	): ReadonlyArray<{rank: string; goodShare: number; withinMs: number}> {
		const jobs = this.byService.get(service)?.jobs ?? [];
		return jobs.flatMap(({rank, objective}) => (objective ? [{rank, ...objective}] : []));
	}

	private withBody(section: Section, body: SectionBody): Result<Policy, Fault> {
		const sections = new Map(this.sections).set(section.name, section);
		if (body.kind === 'base') {
			return ok(new Policy(sections, body, this.services, this.routes));
		}

		if (body.kind === 'routes') {
			return ok(new Policy(sections, this.base, this.services, RouteTable.of(body)));
		}

		const owner = [...this.services].find(
			([name, service]) => name !== section.name && service.service === body.service,
		);
		if (owner) {
			return err(
				Fault.of(
					faultKinds.badPolicy,
					`Section ${owner[0]} already holds service ${body.service}`,
					`Put the change to section ${owner[0]}`,
				),
			);
		}

		const services = new Map(this.services).set(section.name, body);
		return ok(new Policy(sections, this.base, services, this.routes));
	}

	private rulesOf(service: string): readonly JobRule[] {
		const known = this.rules.get(service);
		if (known) {
			return known;
		}

		const section = this.byService.get(service);
		const compiled = (section?.jobs ?? [])
			.map(job => this.compile(section!, job))
			.toSorted(
				(a, b) =>
					order.indexOf(a.match) - order.indexOf(b.match) || b.literalLength - a.literalLength,
			);
		if (section) {
			this.rules.set(service, compiled);
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
				match: matches.exact,
				literalLength: text.length,
				terms,
				names: name => name === text,
			};
		}

		if ('prefix' in match) {
			const text = match.prefix;
			return {
				match: matches.prefix,
				literalLength: text.length,
				terms,
				names: name => name.startsWith(text),
			};
		}

		const literalLength = match.pattern.replaceAll('*', '').length;
		return {match: matches.pattern, literalLength, terms, names: globTest(match.pattern)};
	}

	private defaultTerms(service: string): Terms {
		const {defaults, ranks} = this.base;
		const rank = this.rankIndex(defaults.rank);
		const section = this.byService.get(service);
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
