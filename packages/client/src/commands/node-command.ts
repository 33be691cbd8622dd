import type {Fault} from '@medlarsaddle/core';
import {Command, Option} from 'clipanion';
import Table from 'cli-table3';
import type {Result} from 'neverthrow';
import {exitCodeOf} from '../exit-code-of.js';
import {exitCodes} from '../exit-codes.js';
import {NodeClient} from '../node-client.js';

const defaultNode = '127.0.0.1:8082';

/**
 * Base class of the commands: sends queries to a node and prints the replies.
 *
 * @example
 * class Status extends NodeCommand {}
 */
export abstract class NodeCommand extends Command {
	node = Option.String('--node', defaultNode, {
		env: 'MEDLARSADDLE_NODE',
		description: "Address of a node's operator port, IP:PORT",
	});

	json = Option.Boolean('--json', false, {description: 'Print JSON'});

	/** Runs a query and prints the reply, as JSON with `--json`; resolves with the exit code. */
	protected async runQuery<Reply>(
		query: (client: NodeClient) => Promise<Result<Reply, Fault>>,
		print: (reply: Reply) => void,
		onReply: (reply: Reply) => void = () => {},
	): Promise<number> {
		const client = NodeClient.connect(this.node);
		try {
			const reply = await query(client);
			if (reply.isErr()) {
				return this.fail(reply.error);
			}

			onReply(reply.value);
			if (this.json) {
				this.printJson(reply.value);
			} else {
				print(reply.value);
			}

			return exitCodes.ok;
		} finally {
			client.close();
		}
	}

	/** Prints a fault and returns its exit code. */
	protected fail(fault: Fault): number {
		if (this.json) {
			this.printJson({error: fault.kind, what: fault.what, remedy: fault.remedy});
		} else {
			this.context.stderr.write(`${fault.message}\n`);
		}

		return exitCodeOf(fault.kind);
	}

	/** Prints one line. */
	protected print(line: string): void {
		this.context.stdout.write(`${line}\n`);
	}

	/** Prints a value as JSON. */
	protected printJson(value: unknown): void {
		this.print(JSON.stringify(value, undefined, '\t'));
	}

	/** Prints rows under a heading. */
	protected printTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): void {
		const table = new Table({
			head: [...head],
			style: {head: [], border: [], compact: true},
		});
		table.push(...rows.map(row => [...row]));
		this.print(table.toString());
	}
}
