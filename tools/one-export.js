/**
 * Returns the names that a declaration introduces.
 *
 * @param {any} declaration
 */
const declaredNames = declaration =>
	declaration.type === 'VariableDeclaration'
		? declaration.declarations.map(({id}) => id.name)
		: [declaration.id?.name];

/**
 * Lint rule that reports a file with more than one exported name. A type and a value of the same
 * name count once; index files, which only re-export, are skipped.
 */
export const oneExport = {
	meta: {
		type: 'suggestion',
		schema: [],
		messages: {many: 'This file exports {{names}}: move all but one to files of their own.'},
	},
	create(context) {
		if (/(^|\/)index\.ts$/.test(context.filename)) {
			return {};
		}

		const names = new Set();
		return {
			ExportDefaultDeclaration: () => names.add('default'),
			ExportNamedDeclaration(node) {
				const found = node.declaration
					? declaredNames(node.declaration)
					: node.specifiers.map(({exported}) => exported.name);
				for (const name of found) {
					names.add(name);
				}
			},
			'Program:exit'(node) {
				if (names.size > 1) {
					context.report({node, messageId: 'many', data: {names: [...names].join(', ')}});
				}
			},
		};
	},
};
