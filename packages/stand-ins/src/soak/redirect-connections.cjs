/** Redirects the connections of a process from one port to another, as REDIRECTED_PORTS says. */
'use strict';

const { Socket } = require('node:net');

const ports = JSON.parse(process.env.REDIRECTED_PORTS ?? '{}');
const { connect } = Socket.prototype;

function redirected(options) {
  const port = ports[options?.port];
  return port === undefined ? options : { ...options, port };
}

Socket.prototype.connect = function redirectAndConnect(...parameters) {
  const [first] = parameters;
  if (Array.isArray(first)) {
    // Parameters that Node.js has normalized and marked with a symbol.
    first[0] = redirected(first[0]);
  } else {
    parameters[0] = redirected(first);
  }
  return connect.apply(this, parameters);
};
