import {type Socket, createServer} from 'node:net';
import {createSystemClock} from '@medlarsaddle/core';
import {Link, type MessageOf, messageTypes} from '@medlarsaddle/wire';
import {Pool} from 'undici';
import type {StartHop} from './start-hop.js';
import {listenOnFreePort} from './listen-on-free-port.js';

/** Accepts calls from a framed stream and forwards them with undici. */
export const startFramedBack: StartHop = async targetPort => {
	const pool = new Pool(`http://127.0.0.1:${targetPort}`, {pipelining: 1});
	const answer = async (link: Link, {id, request}: MessageOf<'call'>) => {
		const reply = await pool.request({path: '/', method: 'POST', body: request.body});
		const body = Buffer.from(await reply.body.arrayBuffer());
		const result = {kind: 'answer' as const, status: reply.statusCode, headers: [], body};
		link.send({
			type: messageTypes.outcome,
			id,
			outcome: {result, cutoffs: [], load: 0, unspent: 0},
		});
	};

	const serve = async (socket: Socket) => {
		const link = Link.over(socket, createSystemClock());
		for await (const message of link.messages()) {
			if (message.type === messageTypes.call) {
				void answer(link, message);
			}
		}
	};

	return listenOnFreePort(
		createServer(socket => {
			void serve(socket);
		}),
	);
};
