import type {asIs} from './as-is.js';
import type {Layout} from './layout.js';

type Field<Value> =
	| typeof asIs
	| {
			readonly write: (value: Value) => unknown;
			readonly read: (value: unknown) => Value;
	  };

/**
 * One entry for each field of the record, optional ones included, so that the compiler finds
 * omissions.
 */
type Fields<T> = {readonly [Name in keyof T]-?: Field<NonNullable<T[Name]>>};

type UntypedRecord = Record<string, unknown>;

/**
 * Defines the layout of a record type. The order of `fields` is the order on the wire.
 *
 * @example
 * const layout = defineLayout<UpstreamState>({waitMs: asIs, limit: asIs, heldMs: asIs});
 * layout.write({waitMs: 12, limit: 22}); // [12, 22]
 */
export const defineLayout = <T extends object>(fields: Fields<T>): Layout<T> => {
	const entries = Object.entries(fields as Record<string, Field<unknown>>);
	return {
		write(record) {
			const values: unknown[] = [];
			let usedLength = 0;
			for (const [name, field] of entries) {
				const value = (record as UntypedRecord)[name];
				if (value === undefined) {
					values.push(null);
				} else {
					usedLength = values.push(typeof field === 'string' ? value : field.write(value));
				}
			}

			values.length = usedLength;
			return values;
		},
		read(values) {
			if (!Array.isArray(values)) {
				throw new TypeError('Frame does not hold a list of fields');
			}

			const record: UntypedRecord = {};
			for (const [index, [name, field]] of entries.entries()) {
				const value = values[index] as unknown;
				if (value !== undefined && value !== null) {
					record[name] = typeof field === 'string' ? value : field.read(value);
				}
			}

			return record as T;
		},
	};
};
