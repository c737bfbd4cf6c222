// Exports the modules of undici that the daemon uses. The full library also
// loads a browser-compatible fetch, which doubles the startup time.
const Dispatcher = require('undici/lib/dispatcher/dispatcher');

// The entry file of undici adds the API methods to the base class; only
// `request` is needed.
Dispatcher.prototype.request = require('undici/lib/api/api-request');

module.exports = {
  Client: require('undici/lib/dispatcher/client'),
  Pool: require('undici/lib/dispatcher/pool'),
  buildConnector: require('undici/lib/core/connect'),
};
