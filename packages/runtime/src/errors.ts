import ModernError from 'modern-errors';

/** Base class of the typed errors. Each message says how to fix the cause. */
export const BaseError = ModernError.subclass('BaseError');

/** A settings file or declaration is invalid. */
export const ConfigurationError = BaseError.subclass('ConfigurationError');

/** A peer, caller or backend server violated its protocol. */
export const ProtocolError = BaseError.subclass('ProtocolError');

/** A connection closed or timed out before the exchange completed. */
export const ConnectionError = BaseError.subclass('ConnectionError');

/** An exchange did not complete within its timeout. */
export const TimeoutError = BaseError.subclass('TimeoutError');
