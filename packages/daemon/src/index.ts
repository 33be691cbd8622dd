export {nodeFlags} from './node-flags.js';
