import {readFile} from 'node:fs/promises';
import {Fault, errorText, faultKinds} from '@medlarsaddle/core';
import {parseSection, sectionNameOf} from '@medlarsaddle/policy';
import {type Result, err} from 'neverthrow';

type SectionFile = {
	readonly name: string;
	readonly text: string;
};

/**
 * Reads and checks a policy file without contacting a node.
 *
 * @example
 * const file = await readSectionFile('payment.yaml');
 */
export const readSectionFile = async (path: string): Promise<Result<SectionFile, Fault>> => {
	let text: string;
	try {
		text = await readFile(path, 'utf8');
	} catch (error) {
		return err(
			Fault.of(
				faultKinds.badInput,
				`The file cannot be read (${errorText(error)})`,
				'Check its path',
			),
		);
	}

	return parseSection(text).map(body => ({
		name: sectionNameOf(body),
		text,
	}));
};
