import {Platform} from '../platform/platform.js';

const platform = await Platform.start(Number(process.argv[2] ?? 0));
console.log(JSON.stringify({ready: {url: platform.url}}));
