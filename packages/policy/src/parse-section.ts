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
 * Parses a policy section from YAML or JSON. The fault lists every error in the section, each with
 * its path and line.
 *
 * @example
 * const parsed = parseSection('kind: service\nservice: map\njobs: []\n');
 */
export const parseSection = (text: string): Result<SectionBody, Fault> => {
	const json = parseJson(text);
	const checkedJson = json === undefined ? undefined : sectionSchema.safeParse(json);
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
	const syntaxErrors = document.errors.map(
		({message, pos}) => `line ${lines.linePos(pos[0]).line}: ${message}`,
	);
	if (syntaxErrors.length > 0) {
		return err(Fault.of(faultKinds.badPolicy, syntaxErrors.join('; '), remedy));
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

	const messages = checked.error.issues.map(issue => {
		const line = lineOf(document, issue.path, lines);
		return `line ${line}, ${issue.path.join('.') || 'top level'}: ${issue.message}`;
	});
	return err(Fault.of(faultKinds.badPolicy, messages.join('; '), remedy));
};

/** Parses JSON, which is much faster than YAML; returns undefined for any other text. */
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

/** Returns the line of the deepest node that exists on the path. */
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
