export type * from './interfaces.js';
