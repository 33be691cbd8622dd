import type {asIs} from './as-is.js';
import type {Layout} from './layout.js';

type Field<Value> =
	| typeof asIs
	| {
			readonly write: (value: Value) => unknown;
			readonly read: (value: unknown) => Value;
	  };

/** One entry for each field of the record, optional ones included: a missing one does not compile. */
type Fields<Rec> = {readonly [Name in keyof Rec]-?: Field<NonNullable<Rec[Name]>>};

type Loose = Record<string, unknown>;

/**
 * Defines the layout of a record type; the order of the fields is the order on the wire.
 *
 * @example
 * const layout = defineLayout<UpstreamState>({waitMs: asIs, limit: asIs, heldMs: asIs});
 * layout.write({waitMs: 12, limit: 22}); // [12, 22]
 */
export const defineLayout = <Rec extends object>(fields: Fields<Rec>): Layout<Rec> => {
	const entries = Object.entries(fields as Record<string, Field<unknown>>);
	return {
		write(rec) {
			const values: unknown[] = [];
			let used = 0;
			for (const [name, field] of entries) {
				const value = (rec as Loose)[name];
				if (value === undefined) {
					values.push(null);
				} else {
					used = values.push(typeof field === 'string' ? value : field.write(value));
				}
			}

			values.length = used;
			return values;
		},
		read(values) {
			if (!Array.isArray(values)) {
				throw new TypeError('Frame does not hold a list of fields');
			}

			const rec: Loose = {};
			for (const [place, [name, field]] of entries.entries()) {
				const value = values[place] as unknown;
				if (value !== undefined && value !== null) {
					rec[name] = typeof field === 'string' ? value : field.read(value);
				}
			}

			return rec as Rec;
		},
	};
};
