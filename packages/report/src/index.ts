export {alerts} from './alerts.js';
export {burn} from './burn.js';
export {History} from './history.js';
export {outcomeClasses} from './outcome-classes.js';
export {Tally} from './tally.js';
export {windows} from './windows.js';
