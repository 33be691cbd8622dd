export * from './generated/operators.js';
