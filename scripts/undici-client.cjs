// The parts of undici that the daemon uses. The whole library also loads a
// browser-like fetch, which doubles the time of a start.
module.exports = {
  Client: require('undici/lib/dispatcher/client'),
  Pool: require('undici/lib/dispatcher/pool'),
  buildConnector: require('undici/lib/core/connect'),
};
