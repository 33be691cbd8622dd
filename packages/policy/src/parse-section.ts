import {Fault, faultKinds} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import {LineCounter, type Node, parseDocument} from 'yaml';
import {z} from 'zod';
import {baseSection} from './base-section.js';
import {policyLimits} from './policy-limits.js';
import type {SectionBody} from './section-body.js';
import {routesSection} from './routes-section.js';
import {serviceSection} from './service-section.js';

const sectionSchema = z.discriminatedUnion('kind', [baseSection, serviceSection, routesSection]);

const remedy = 'Correct the lines named here and put the file again';

/**
 * Reads a policy section from YAML or JSON. The fault lists every mistake at once, each with its
 * path and line.
 *
 * @example
 * const parsed = parseSection('kind: service\nservice: map\njobs: []\n');
 */
export const parseSection = (text: string): Result<SectionBody, Fault> => {
	const fromJson = parseJson(text);
	const checkedJson = fromJson === undefined ? undefined : sectionSchema.safeParse(fromJson);
	const isRoutes = checkedJson?.data?.kind === 'routes';
	const maxBytes = isRoutes ? policyLimits.maxRoutesBytes : policyLimits.maxSectionBytes;
	if (Buffer.byteLength(text) > maxBytes) {
		return err(
			Fault.of(
				faultKinds.tooLarge,
				`The section is larger than ${maxBytes} bytes`,
				'Split the service into several, or match its jobs by prefix',
			),
		);
	}

	if (checkedJson?.success) {
		return ok(checkedJson.data);
	}

	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	const syntaxFaults = document.errors.map(
		({message, pos}) => `line ${lines.linePos(pos[0]).line}: ${message}`,
	);
	if (syntaxFaults.length > 0) {
		return err(Fault.of(faultKinds.badPolicy, syntaxFaults.join('; '), remedy));
	}

	let value: unknown;
	try {
		value = document.toJS({maxAliasCount: 100});
	} catch (error) {
		return err(Fault.of(faultKinds.badPolicy, (error as Error).message, remedy));
	}

	const checked = sectionSchema.safeParse(value);
	if (checked.success) {
		return ok(checked.data);
	}

	const found = checked.error.issues.map(issue => {
		const line = lineOf(document, issue.path, lines);
		return `line ${line}, ${issue.path.join('.') || 'top level'}: ${issue.message}`;
	});
	return err(Fault.of(faultKinds.badPolicy, found.join('; '), remedy));
};

/** The value of a JSON text, which reads much faster than YAML; undefined when it is none. */
const parseJson = (text: string): unknown => {
	if (!text.startsWith('{')) {
		return undefined;
	}

	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

/** Line of the nearest node that exists on the path. */
const lineOf = (
	document: ReturnType<typeof parseDocument>,
	path: readonly PropertyKey[],
	lines: LineCounter,
): number => {
	for (let depth = path.length; depth >= 0; depth--) {
		const node = document.getIn(path.slice(0, depth), true) as Node | undefined;
		if (node?.range) {
			return lines.linePos(node.range[0]).line;
		}
	}

	return 1;
};
