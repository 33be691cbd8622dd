import {once} from 'node:events';
import http from 'node:http';

/**
 * Starts a sound store of the platform in this process: objects by kind and name, one revision
 * counter, conditional writes and watches.
 *
 * @example
 * const store = await startStore('127.0.0.1');
 * store.put('config', 'main', configuration);
 */
export const startStore = async host => {
	const objects = new Map();
	const changes = [];
	const watches = new Set();
	let revision = 100;

	const commit = (kind, object, deleted) => {
		revision++;
		object.metadata.revision = revision;
		changes.push({kind, revision, event: {object: structuredClone(object), deleted}});
		for (const wake of watches) {
			wake();
		}

		return object;
	};

	const keyOf = (kind, name) => `${kind}/${name}`;

	const put = (kind, name, spec) => {
		const known = objects.get(keyOf(kind, name));
		const metadata = known?.metadata ?? {name, created: revision, finalizers: [], deleting: false};
		const object = {metadata: {...metadata}, spec, status: known?.status ?? null};
		objects.set(keyOf(kind, name), object);
		return commit(kind, object, false);
	};

	const remove = (kind, name) => {
		const object = objects.get(keyOf(kind, name));
		objects.delete(keyOf(kind, name));
		return commit(kind, object, true);
	};

	const list = (kind, after) =>
		[...objects]
			.filter(([key, object]) => key === keyOf(kind, object.metadata.name))
			.map(([, object]) => object)
			.filter(({metadata}) => metadata.name > after)
			.toSorted((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));

	const answerWatch = async (kind, query, reply) => {
		const from = Number(query.get('watch'));
		const endMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
		for (;;) {
			const found = changes.filter(change => change.kind === kind && change.revision > from);
			const leftMs = endMs - performance.now();
			if (found.length > 0 || leftMs <= 0) {
				reply(200, {events: found.map(({event}) => event), storeRevision: revision});
				return;
			}

			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					watches.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, leftMs);
				watches.add(wake);
			});
		}
	};

	const write = ({method, kind, name, body, query}, reply) => {
		const known = objects.get(keyOf(kind, name));
		const expected = body?.metadata?.revision ?? query.get('revision') ?? undefined;
		if (!known) {
			reply(404, {});
		} else if (expected !== undefined && Number(expected) !== known.metadata.revision) {
			reply(409, known);
		} else {
			reply(200, method === 'DELETE' ? remove(kind, name) : put(kind, name, body.spec));
		}
	};

	const answer = async (req, text, reply) => {
		const url = new URL(req.url, 'http://store');
		const [kind, name] = url.pathname
			.slice('/-/objects/'.length)
			.split('/')
			.map(decodeURIComponent);
		const body = text === '' ? undefined : JSON.parse(text);
		if (req.method === 'POST') {
			const created = body.metadata.name;
			const known = objects.get(keyOf(kind, created));
			reply(known ? 409 : 200, known ?? put(kind, created, body.spec));
		} else if (req.method !== 'GET') {
			write({method: req.method, kind, name, body, query: url.searchParams}, reply);
		} else if (name !== undefined) {
			const known = objects.get(keyOf(kind, name));
			reply(known ? 200 : 404, known ?? {});
		} else if (url.searchParams.has('watch')) {
			await answerWatch(kind, url.searchParams, reply);
		} else {
			const items = list(kind, url.searchParams.get('after') ?? '');
			reply(200, {items, more: false, storeRevision: revision});
		}
	};

	const server = http.createServer((req, res) => {
		let text = '';
		req.on('data', part => {
			text += part;
		});
		req.on('end', () => {
			answer(req, text, (status, body) => {
				res.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
				res.end(JSON.stringify(body));
			}).catch(() => {
				res.destroy();
			});
		});
	});
	server.listen(0, host);
	await once(server, 'listening');
	return {
		put,
		address: `${host}:${server.address().port}`,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
};
