import ModernError from 'modern-errors';

/** Root of the typed errors; each message names the remedy. */
export const BaseError = ModernError.subclass('BaseError');

/** A settings file or declaration is invalid. */
export const ConfigurationError = BaseError.subclass('ConfigurationError');

/** A peer, caller or backend server broke its protocol. */
export const ProtocolError = BaseError.subclass('ProtocolError');

/** A connection closed or was found silent before the exchange ended. */
export const ConnectionError = BaseError.subclass('ConnectionError');

/** An exchange did not end within its time limit. */
export const TimeoutError = BaseError.subclass('TimeoutError');
