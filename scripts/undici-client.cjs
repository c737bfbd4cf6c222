// The parts of undici that the daemon uses. The whole library also loads a
// browser-like fetch, which doubles the time of a start.
const Dispatcher = require('undici/lib/dispatcher/dispatcher');

// The library's own entry file adds its methods to the base class.
Dispatcher.prototype.request = require('undici/lib/api/api-request');

module.exports = {
  Client: require('undici/lib/dispatcher/client'),
  Pool: require('undici/lib/dispatcher/pool'),
  buildConnector: require('undici/lib/core/connect'),
};
