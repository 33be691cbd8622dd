import {BarChart, LineChart} from 'echarts/charts';
import {GridComponent, MarkLineComponent, TitleComponent} from 'echarts/components';
import {type EChartsCoreOption, init, use} from 'echarts/core';
import {SVGRenderer} from 'echarts/renderers';

use([BarChart, GridComponent, LineChart, MarkLineComponent, SVGRenderer, TitleComponent]);

const width = 720;
const height = 260;

/**
 * Draws a chart as SVG text that needs nothing else to be shown.
 *
 * @example
 * const svg = chart({series: [{type: 'line', data: [1, 2]}]});
 */
export const chart = (option: EChartsCoreOption): string => {
	const drawing = init(undefined, undefined, {renderer: 'svg', ssr: true, width, height});
	drawing.setOption({animation: false, ...option});
	const svg = drawing.renderToSVGString();
	drawing.dispose();
	return svg;
};
