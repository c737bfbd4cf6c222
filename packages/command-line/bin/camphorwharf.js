#!/usr/bin/env node
import * as commandLine from '../lib/index.js';

process.exitCode = await commandLine.run(process.argv.slice(2));
