import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {Server, ServerCredentials, type sendUnaryData} from '@grpc/grpc-js';
import {GetReportReply, OperatorsService, RankReport} from '@medlarsaddle/api';
import {Cli} from 'clipanion';
import {Report} from '../src/commands/report.js';

const fastBurnRow = RankReport.fromPartial({
	service: 'payment',
	rank: 'critical',
	refused: 9,
	burn: [20, 20, 20, 20],
	alert: 'fast',
});

for (const isTerminal of [false, true]) {
	test(`an alert is ${isTerminal ? '' : 'not '}coloured when the output is ${isTerminal ? '' : 'not '}a terminal`, async () => {
		const server = new Server();
		server.addService(OperatorsService, {
			getReport(_call: unknown, callback: sendUnaryData<GetReportReply>) {
				callback(
					null,
					GetReportReply.fromPartial({
						windowsS: [300, 3600, 21_600, 259_200],
						ranks: [fastBurnRow],
					}),
				);
			},
		});
		const port = await new Promise<number>((resolve, reject) => {
			server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, boundPort) => {
				if (error) {
					reject(error);
				} else {
					resolve(boundPort);
				}
			});
		});
		const stdout = new PassThrough();
		Reflect.set(stdout, 'isTTY', isTerminal);
		const code = await Cli.from([Report]).run(['report', '--node', `127.0.0.1:${port}`], {
			stdout,
			colorDepth: 8,
		});
		server.forceShutdown();
		stdout.end();
		const text = String(await stdout.toArray().then(chunks => chunks.join('')));
		assert.equal(code, 0);
		assert.match(text, /payment/v);
		assert.equal(text.includes('\u001B[31m'), isTerminal);
	});
}
