export {exitCodes} from './exit-codes.js';
export {Operators} from './operators.js';
