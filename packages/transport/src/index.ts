export type * from './peer-interfaces.js';
