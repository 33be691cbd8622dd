export {platformFlags} from './platform-flags.js';
