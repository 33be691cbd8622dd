export type {Change} from './change.js';
export type {ChangeRecord} from './change-record.js';
export type {ObjectStore} from './object-store.js';
export type {OpenStore} from './open-store.js';
export type {StorePosition} from './store-position.js';
export type {StoredObject} from './stored-object.js';
export type {StoredSection} from './stored-section.js';
export {Shard} from './shard.js';
export {writeChange} from './write-change.js';
