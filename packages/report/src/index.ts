export {alerts} from './alerts.js';
export {computeBurn} from './compute-burn.js';
export {OutcomeHistory} from './outcome-history.js';
export {outcomeClasses} from './outcome-classes.js';
export {Tally} from './tally.js';
export {burnWindows} from './burn-windows.js';
