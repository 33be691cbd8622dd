export {exitCodes} from './exit-codes.js';
export {NodeClient} from './node-client.js';
